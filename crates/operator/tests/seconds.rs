//! Durations of settings files.

use citronhollow_core::clock::Millis;
use citronhollow_operator::settings::Seconds;
use rstest::rstest;

#[rstest]
#[case::whole("60", Millis(60_000))]
#[case::fraction("4.5", Millis(4_500))]
#[case::whole_as_fraction("6.0", Millis(6_000))]
#[case::none("0", Millis::ZERO)]
fn duration_is_parsed(#[case] text: &str, #[case] expected: Millis) {
    let seconds: Seconds = serde_json::from_str(text).expect("a duration");
    assert_eq!(seconds.millis(), expected);
}

#[rstest]
#[case::negative("-1")]
#[case::too_long("1e12")]
#[case::text("\"6\"")]
#[case::boolean("true")]
fn other_values_are_refused(#[case] text: &str) {
    assert!(serde_json::from_str::<Seconds>(text).is_err());
}
