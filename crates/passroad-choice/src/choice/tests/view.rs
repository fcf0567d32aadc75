//! The view of a large fleet.

use super::*;

// Every command walked 477 endpoints several times, which cost a seventh of the service in CPU
// (incident iaf261e).
#[rstest]
fn few_endpoints_of_a_large_fleet_are_in_view() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 500);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    balancer.decide(NOW, command_arrived(0));
    assert!(
        !balancer.in_view.is_empty() && balancer.in_view.len() < 20,
        "{}",
        balancer.in_view.len()
    );
}

// The endpoint of a slow-start permit left the view before it was probed, and cold endpoints were
// sent a third less.
#[rstest]
fn an_endpoint_with_a_permit_stays_in_view() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 500);
    balancer
        .endpoints
        .iter_mut()
        .for_each(|e| e.reported_at = None);
    balancer.endpoints[9].restart_cold(NOW);
    balancer.endpoints[9].permit_until = NOW + SMOOTHING;
    balancer.refresh_view();
    assert!(balancer.in_view.contains(&9));
}
