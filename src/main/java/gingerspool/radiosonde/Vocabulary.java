package gingerspool.radiosonde;

import gingerspool.weathervane.Base;
import gingerspool.weathervane.Entry;
import gingerspool.weathervane.Letter;
import gingerspool.weathervane.Member;
import java.util.List;

/** All that is said between processes, in a fixed order, which is part of the form. */
public final class Vocabulary {
    public static final List<Class<?>> ALL = List.of(Member.class, Entry.class, Base.class, Letter.class,
        Letter.Post.class,
        Letter.Stop.class, Letter.Stopped.class, Letter.Append.class, Letter.Whole.class,
        Letter.Appended.class, Letter.Join.class, Letter.Take.class, Words.Hello.class, Words.Standing.class,
            Words.Enrol.class,
        Words.Enrolled.class, Words.News.class, Words.Heard.class, Words.Want.class, Words.Grant.class,
        Words.Recall.class, Words.Back.class, Words.Shun.class, Words.Command.class,
        Words.Schedulers.class, Words.Copy.class, Words.Ask.class, Words.Mend.class, Words.Holds.class,
        Letter.Ask.class, Letter.Would.class);

    private Vocabulary() { }
}
