package gingerspool.radiosonde;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import gingerspool.weathervane.Base;
import gingerspool.weathervane.Entry;
import gingerspool.weathervane.Letter;
import gingerspool.weathervane.Member;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CoderTest {
    private static final Member A = new Member("10.0.0.1", "0");
    private final Coder coder = new Coder(Vocabulary.ALL);

    @DataProvider
    Object[][] words() {
        return new Object[][] {{new Words.Hello("10.0.0.1")}, {new Words.Standing(3, "", List.of("a", "b"))},
            {new Words.Enrol("n", "z", 4, Map.of("i", 2))}, {new Words.Want("f", 1, 2, 3, 4, 5.5)},
            {new Words.Grant("f", "i", "10.0.0.1:1", "z", 4, 1, 0, 2)}, {new Words.Shun(List.of("i"))},
            {new Letter.Post(A, null, new Letter.Join(0))},
            {new Letter.Post(A, A, new Letter.Append(1, 2, 1, List.of(new Entry(1, null, List.of(A))), 2,
                7.5))},
            {new Letter.Post(A, A, new Letter.Whole(1, new Base(0, 0, List.of(A), null), 0, 1))}};
    }

    @Test(dataProvider = "words")
    public void aWordComesBackAndACutOneIsABadWord(Object word) throws BadWord {
        byte[] bytes = coder.write(word);
        assertEquals(coder.read(bytes), word);
        for (int cut = 0; cut < bytes.length; cut++) {
            byte[] part = Arrays.copyOf(bytes, cut);
            expectThrows(BadWord.class, () -> coder.read(part));
        }
    }

    @Test
    public void rubbishIsABadWordOrAnother() {
        SplittableRandom chance = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            byte[] rubbish = new byte[chance.nextInt(40)];
            chance.nextBytes(rubbish);
            try {
                coder.read(rubbish);
            } catch (BadWord e) {
                // What a peer says that is none of ours may not break the loop in any other way.
                assertEquals(e.getClass(), BadWord.class);
            }
        }
    }
}
