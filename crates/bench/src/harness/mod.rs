//! Starts the processes of a test or experiment and reads back their addresses.
