// Package standin is the parent of the stand-ins for the platform, the model
// engines and the plain services. "oleander dev" and the tests use them in
// place of the real ones.
//
// Each stand-in is an http.Handler with Serve and Close, keeps everything in
// memory, and has typed fault knobs that can be set in process or by
// POST /faults with a JSON object that holds the knobs to change. Durations in
// that object are nanoseconds. GET /faults shows the knobs.
package standin
