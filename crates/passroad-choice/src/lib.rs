//! The decisions of passroad: which endpoint a command is sent to, when, how often, and when it is
//! refused.
//!
//! A [`choice::Balancer`] takes an [`Event`] and returns [`Action`]s; it does no input or output.
//! Endpoints, commands, zones and kinds are small indices that an [`interner::Interner`] gives out.
//! Times are spans since the start of the clock that drives the balancer.

pub mod choice;
mod config;
mod event;
pub mod interner;
pub mod shadow;

pub use choice::LearnedState;
pub use config::{
    BalancerConfig, DeduplicationScope, Effect, ReportMode, RequestClassConfig, TenantConfig,
};
pub use event::{
    Action, CommandArrival, CommandIndex, EndpointIndex, EndpointState, Event, ListUpdateKind,
    ListedEndpoint, LoadReport, Outcome,
};
