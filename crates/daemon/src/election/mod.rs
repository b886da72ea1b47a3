//! Replaces a failed primary.
