//! The command-line client of the resource API.
