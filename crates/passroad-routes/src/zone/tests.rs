use super::*;
use ZoneHealth::{Degraded, Down, Healthy, Recovering};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Endpoints of weight 1 each; `ramp` is their warm-up factor.
fn summary(listed: usize, reachable: usize, ramp: f64) -> ZoneSummary {
    let reachable_weight = reachable as f64;
    ZoneSummary {
        listed_weight: listed as f64,
        reachable_weight,
        effective_weight: reachable_weight * ramp,
        listed,
        reachable,
    }
}

/// Health after each summary, one per second, starting from ten healthy endpoints. A recovery takes 8 s.
fn health_after_each(summaries: &[ZoneSummary]) -> Vec<ZoneHealth> {
    let mut zone = Zone::default();
    zone.update(Duration::ZERO, summary(10, 10, 1.0), 1.4, 8 * SECOND);
    let update = |(n, summary): (usize, &ZoneSummary)| {
        zone.update((n as u32 + 1) * SECOND, *summary, 1.4, 8 * SECOND);
        zone.health
    };
    summaries.iter().enumerate().map(update).collect()
}

#[rstest]
#[case::one_endpoint_lost(&[summary(9, 9, 1.0)], &[Healthy])]
#[case::three_endpoints_lost(&[summary(7, 7, 1.0)], &[Degraded])]
#[case::cold_endpoints_count_by_their_ramp(&[summary(10, 10, 0.5)], &[Degraded])]
#[case::none_listed(&[summary(0, 0, 1.0)], &[Down])]
#[case::none_reachable(&[summary(10, 0, 1.0)], &[Down])]
#[case::healthy_only_after_stable_time(
    &[summary(6, 6, 1.0), summary(10, 10, 1.0), summary(6, 6, 1.0), summary(10, 10, 1.0), summary(10, 10, 1.0), summary(10, 10, 1.0)],
    &[Degraded, Degraded, Degraded, Degraded, Degraded, Healthy]
)]
#[case::first_endpoint_back(&[summary(0, 0, 1.0), summary(1, 1, 0.13), summary(10, 10, 0.2)], &[Down, Recovering, Recovering])]
#[case::lost_again_during_recovery(&[summary(0, 0, 1.0), summary(8, 8, 0.13), summary(3, 3, 0.2)], &[Down, Recovering, Down])]
fn health_follows_the_usable_weight(
    #[case] summaries: &[ZoneSummary],
    #[case] expected: &[ZoneHealth],
) {
    assert_eq!(health_after_each(summaries), expected);
}

#[rstest]
fn recovery_time_doubles_with_each_loss() {
    let mut zone = Zone::default();
    let mut now = Duration::ZERO;
    let mut update = |zone: &mut Zone, elapsed: Duration, summary| {
        now += elapsed;
        let change = zone.update(now, summary, 1.4, 8 * SECOND);
        (now, change)
    };
    update(&mut zone, SECOND, summary(10, 10, 1.0));
    let mut recovery_times = Vec::new();
    for _ in 0..6 {
        update(&mut zone, SECOND, summary(0, 0, 1.0));
        let (started, change) = update(&mut zone, SECOND, summary(10, 10, 1.0));
        recovery_times.push(change.map(|c| c.recovery_time / 8));
        // Halfway through the recovery the zone carries half of its traffic.
        let halfway = started + zone.recovery_time / 2;
        assert!((zone.carriable_share(halfway, 1.4) - 0.5).abs() < 1e-9);
    }
    assert_eq!(recovery_times, [1, 2, 4, 8, 8, 8].map(|n| Some(n * SECOND)));
    // After the loss memory has passed, a loss counts as the first one.
    let (_, change) = update(&mut zone, 100 * SECOND, summary(10, 10, 1.0));
    assert_eq!(change.map(|c| c.to), Some(Healthy));
    update(&mut zone, 400 * SECOND, summary(0, 0, 1.0));
    let (_, change) = update(&mut zone, SECOND, summary(10, 10, 1.0));
    assert_eq!(change.map(|c| c.recovery_time), Some(8 * SECOND));
}

#[rstest]
fn permanently_smaller_zone_becomes_healthy_after_baseline_reset() {
    let mut zone = Zone::default();
    zone.update(Duration::ZERO, summary(10, 10, 1.0), 1.4, SECOND);
    zone.update(SECOND, summary(5, 5, 1.0), 1.4, SECOND);
    assert_eq!(zone.health, Degraded);
    zone.update(700 * SECOND, summary(5, 5, 1.0), 1.4, SECOND);
    zone.update(703 * SECOND, summary(5, 5, 1.0), 1.4, SECOND);
    assert_eq!(zone.health, Healthy);
}

#[rstest]
#[case(summary(0, 0, 1.0), "is down: no running, uncordoned endpoint listed")]
#[case(
    summary(10, 0, 1.0),
    "is down for this sidecar: 10 running endpoints listed, none reachable"
)]
#[case(
    summary(10, 4, 1.0),
    "is degraded: 4 of 10 running endpoints reachable, 40% of the baseline weight"
)]
fn log_line_tells_unreachable_from_unlisted_endpoints(
    #[case] current: ZoneSummary,
    #[case] line: &str,
) {
    let mut zone = Zone::default();
    zone.update(Duration::ZERO, summary(10, 10, 1.0), 1.4, SECOND);
    let change = zone
        .update(SECOND, current, 1.4, SECOND)
        .expect("health changes");
    assert_eq!(change.to_string(), line);
}
