//! What is believed of the data nodes and how it is kept fresh.

pub mod doubt;
pub mod pace;
