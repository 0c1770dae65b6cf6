//! Which endpoint a request goes to.
