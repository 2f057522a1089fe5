// Package standin is the parent of the stand-ins for the platform's services,
// the model engines and the plain services. "oleander dev" and the tests use them
// in place of the real ones.
//
// Each stand-in is an http.Handler with the methods Serve and Close, keeps its
// state in memory, and can inject faults. Its fault settings are a struct that is
// changed in process or by POST /faults with a JSON object of the fields to
// change; durations in that object are in nanoseconds. GET /faults returns the
// current settings. A setting that counts requests is decremented by each request
// that it makes fail.
package standin
