use super::*;
use rstest::rstest;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The rate after some seconds of 100 commands/s, with a receiver that reports the load which `load` computes from it.
fn rate_after(load: impl Fn(f64) -> Option<f64>, bad: bool, seconds: u64) -> f64 {
    let mut limiter = SpilloverLimiter::new(1.0, f64::INFINITY, 0.9, 0.02);
    for n in 0..seconds * 100 {
        let now = ms(1000 + n * 10);
        limiter.update(now, 100.0, true);
        load(limiter.rate)
            .into_iter()
            .for_each(|load| limiter.record_load(now, load));
        if bad {
            limiter.record_outcome(now, true);
        }
    }
    limiter.rate
}

#[rstest]
#[case::idle(0.3, false, 200.0..200.1)]
#[case::at_the_ceiling(0.95, false, 2.0..2.1)]
#[case::overloaded(0.3, true, 2.0..2.1)]
fn rate_follows_the_load_of_the_receiver(
    #[case] load: f64,
    #[case] bad: bool,
    #[case] expected: std::ops::Range<f64>,
) {
    let rate = rate_after(|_| Some(load), bad, 6);
    assert!(expected.contains(&rate), "{rate}");
}

// The receiver is at half of its capacity, and each spilled command adds to its load.
#[rstest]
fn rate_converges_below_the_ceiling() {
    let rate = rate_after(|rate| Some((0.5 + rate / 200.0).min(1.0)), false, 30);
    assert!((70.0..90.0).contains(&rate), "{rate}");
}

#[rstest]
fn rate_grows_quickly_towards_an_idle_receiver() {
    assert!(rate_after(|_| Some(0.3), false, 1) > 60.0);
    // Without load reports the rate stays low.
    assert!(rate_after(|_| None, false, 10) <= 10.0);
}

#[rstest]
fn configured_limits_cap_the_rate() {
    let mut limiter = SpilloverLimiter::new(0.25, 20.0, 0.9, 0.02);
    for n in 0..1000 {
        limiter.record_load(ms(n * 10), 0.1);
        limiter.update(ms(n * 10), 100.0, true);
        assert!(limiter.rate <= 20.0);
    }
    limiter.update(ms(20_000), 40.0, true);
    assert!(limiter.rate <= 10.0);
    limiter.update(ms(20_001), 40.0, false);
    assert_eq!(limiter.rate, 0.0);
}

#[rstest]
fn token_bucket_keeps_the_rate_and_prefers_valuable_commands() {
    let mut limiter = SpilloverLimiter::new(1.0, 50.0, 0.9, 0.02);
    for n in 0..400 {
        limiter.record_load(ms(n * 10), 0.1);
        limiter.update(ms(n * 10), 100.0, true);
    }
    let (mut valuable, mut cheap) = (0, 0);
    for n in 0..1000 {
        let now = ms(4000 + n * 10);
        limiter.record_load(now, 0.1);
        limiter.update(now, 100.0, true);
        let value = if n % 2 == 0 { 1.0 } else { 0.2 };
        match limiter.try_acquire(now, value) {
            Ok(()) if value > 0.5 => valuable += 1,
            Ok(()) => cheap += 1,
            Err(after) => assert!(after >= ms(50)),
        }
    }
    // 50 commands/s for 10 s, and the burst.
    assert!(
        (490..=530).contains(&(valuable + cheap)),
        "{valuable} {cheap}"
    );
    assert!(valuable > 450, "{valuable} {cheap}");
}
