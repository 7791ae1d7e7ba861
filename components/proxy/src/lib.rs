//! The request path: routing, forwarding and the guard of the local server.
