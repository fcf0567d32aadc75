use super::*;
use rstest::rstest;

#[rstest]
#[case("30us", Ok(30))]
#[case("440ms", Ok(440_000))]
#[case("1.5s", Ok(1_500_000))]
#[case("2m", Ok(120_000_000))]
#[case("0s", Ok(0))]
#[case("5", Err("no unit"))]
#[case("13%", Err("is a share"))]
#[case("5h", Err("unknown unit 'h'"))]
#[case("1.2.3s", Err("is not a duration"))]
#[case("s", Err("is not a duration"))]
#[case("99999999s", Err("too long"))]
fn durations_have_units(#[case] text: &str, #[case] expected: Result<u64, &str>) {
    match (parse_duration(text), expected) {
        (Ok(duration), Ok(micros)) => assert_eq!(duration, Duration::from_micros(micros)),
        (Err(message), Err(part)) => assert!(message.contains(part), "{message}"),
        (parsed, _) => panic!("{parsed:?}"),
    }
}
