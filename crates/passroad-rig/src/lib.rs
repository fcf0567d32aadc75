//! Test rig for passroad: simulated endpoints, clients and faults, in virtual time and behind real sockets; a ledger that
//! checks the service's rules on what was exchanged; baseline policies to compare with; experiments as files; and reports.

pub mod added_latency;
pub mod baseline;
pub mod capacity;
pub mod compare;
pub mod distribution;
pub mod experiment;
pub mod fleet;
pub mod html;
pub mod ledger;
pub mod load;
pub mod model;
pub mod report;
pub mod rng;
pub mod run;
pub mod scale;
pub mod sockets;
pub mod virtual_time;
