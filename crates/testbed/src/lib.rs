//! What `oakport-testbed` is made of: days in virtual time, and a rig that plays them with real processes on loopback.

pub mod cluster;
pub mod compare;
pub mod demo;
pub mod fleet;
pub mod overhead;
pub mod report;
pub mod scale;
pub mod sim;
pub mod soak;
