//! Guards against requests that are interrupted, lost or refused while endpoints, hosts or data
//! centres leave service and return. The binaries of the workspace must have been built.

mod endpoint;
mod host;
mod support;
