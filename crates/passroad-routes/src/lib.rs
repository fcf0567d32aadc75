//! Routing in front of the decision module: which pool serves a command, which weights its endpoints have, how much
//! spills over to lower-priority tiers, and how traffic returns to a recovering zone.
//!
//! [`RoutedBalancer`] wraps the decision module behind the same entry point. Scoring, random draws, concurrency limits,
//! retries and slow-start permits remain in the decision module.

mod balancer;
mod config;
mod router;
mod spillover;
mod zone;

pub use balancer::RoutedBalancer;
pub use config::{PoolConfig, RouteConfig, RoutesConfig, ZoneSelector, parse_routes};
pub use router::{Router, RoutingDecision};
pub use zone::ZoneHealth;
