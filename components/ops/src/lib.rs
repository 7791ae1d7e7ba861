//! The operators' HTTP interface.
