//! Homes of keys.

use super::*;

// Without homes each key was met at every endpoint and remembered at none, and a quarter of the
// commands was answered.
#[rstest]
fn commands_with_one_key_have_the_same_home_at_every_sidecar() {
    let home = |seed: u64, key: u64| {
        let mut balancer = balancer_with_endpoints(Effect::Safe, 20);
        (
            balancer.parameters.warm_keys,
            balancer.key_arrivals,
            balancer.random_state,
        ) = (true, vec![DecayingCount::default(); KEY_SLOTS], seed);
        (0..20).for_each(|index| {
            balancer.endpoints[index].id_hash = stable_hash(&format!("endpoint {index}"))
        });
        balancer.arrivals = DecayingCount::default();
        (0..40).for_each(|_| balancer.arrivals.increment(NOW, SMOOTHING));
        let command = Command {
            key: Some(key),
            ..command()
        };
        let homes = balancer.key_homes(&command);
        homes
            .into_iter()
            .max_by(|a, balancer| a.1.total_cmp(&balancer.1))
            .map(|(index, _)| index)
    };
    let all = |seed| {
        (0..50)
            .map(|key| home(seed, stable_hash(&format!("key {key}"))))
            .collect::<Vec<_>>()
    };
    assert_eq!(all(3), all(5));
    let spread: std::collections::BTreeSet<_> = all(3).into_iter().collect();
    assert!(spread.len() > 12, "{spread:?}");
}

// With part of the fleet cut off, a command whose homes all lay there was refused.
#[rstest]
fn an_unreachable_endpoint_is_no_home() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 20);
    (balancer.parameters.warm_keys, balancer.key_arrivals) =
        (true, vec![DecayingCount::default(); KEY_SLOTS]);
    (0..20).for_each(|index| {
        balancer.endpoints[index].id_hash = stable_hash(&format!("endpoint {index}"))
    });
    let command = Command {
        key: Some(7),
        ..command()
    };
    let before: Vec<_> = balancer
        .key_homes(&command)
        .into_iter()
        .map(|(index, _)| index)
        .collect();
    before
        .iter()
        .for_each(|index| balancer.endpoints[*index].retry_at = NOW + SMOOTHING);
    let after = balancer.key_homes(&command);
    assert!(
        after.len() == before.len() && after.iter().all(|(index, _)| !before.contains(index)),
        "{after:?}"
    );
}

// A key of half of all commands would fill one endpoint; it gets as many homes as it needs.
#[rstest]
fn a_popular_key_has_more_homes() {
    let mut balancer = balancer_with_endpoints(Effect::Safe, 20);
    (balancer.parameters.warm_keys, balancer.key_arrivals) =
        (true, vec![DecayingCount::default(); KEY_SLOTS]);
    (0..20).for_each(|index| {
        balancer.endpoints[index].id_hash = stable_hash(&format!("endpoint {index}"))
    });
    (0..40).for_each(|_| balancer.arrivals.increment(NOW, 4 * SMOOTHING));
    (0..20).for_each(|_| balancer.key_arrivals[7].increment(NOW, 4 * SMOOTHING));
    let full = |balancer: &Balancer, key| {
        let homes = balancer.key_homes(&Command {
            key: Some(key),
            ..command()
        });
        homes.iter().filter(|(_, share)| *share == 1.0).count()
    };
    assert_eq!(
        (full(&balancer, 8), full(&balancer, 7)),
        (1, (HOMES_FACTOR * 10.0) as usize)
    );
}
