//! Measurements of the bars that the project sets itself.
