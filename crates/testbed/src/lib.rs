//! Library of `oakport-testbed`: plays scenarios in virtual time, and in a test cluster of real processes on
//! loopback.

pub mod cluster;
pub mod compare;
pub mod demo;
pub mod fleet;
pub mod overhead;
pub mod report;
pub mod scale;
pub mod sim;
pub mod soak;
