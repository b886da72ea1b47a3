//! Admission of statements and use of endpoint connections within the contracts.
