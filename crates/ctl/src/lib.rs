//! Commands of the operator's command line.
