/**
 * The program `scheduler`: takes clients' requests and sends each to an instance of its function.
 * {@link gingerspool.dataplane.SchedulerNode} is the process; {@link
 * gingerspool.dataplane.RequestRouter} owns the clients' connections and the routes, {@link
 * gingerspool.dataplane.FunctionQueue} one function's requests and slots, {@link
 * gingerspool.dataplane.ControlLinks} the links to the control nodes. All state belongs to one
 * event loop; nothing is kept on disk.
 */
package gingerspool.dataplane;
