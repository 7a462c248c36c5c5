/**
 * The `scheduler` program: accepts clients' requests and forwards each to an instance of its
 * function. {@link gingerspool.dataplane.SchedulerNode} is the process; {@link
 * gingerspool.dataplane.RequestRouter} owns the client connections and the routes, {@link
 * gingerspool.dataplane.FunctionQueue} the requests and slots of one function, and {@link
 * gingerspool.dataplane.ControlLinks} the links to the control nodes. All state belongs to one
 * event loop; nothing is stored on disk.
 */
package gingerspool.dataplane;
