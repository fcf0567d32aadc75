//! The rig: a fleet, its clients and its faults as models, in virtual time and behind real sockets, with a ledger that
//! judges what went over the wire, baselines to be held against, experiments as files, and reports.

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
