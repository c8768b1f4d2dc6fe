//! Validation of an agent's settings file: the field that is reported for each invalid value.

use citronhollow_agent::settings::{Checked, Settings};
use citronhollow_operator::settings::SettingsError;
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../examples/settings/agent.json");

fn load(change: impl FnOnce(&mut Value)) -> Result<Checked, SettingsError> {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("the example parses");
    change(&mut settings);
    Settings::parse("agent.json", &settings.to_string())
}

macro_rules! refused {
    ($($name:ident: $field:ident = $value:tt, at $place:literal;)*) => {
        $(#[test] fn $name() {
            let outcome = load(|settings| settings[stringify!($field)] = json!($value));
            let error = outcome.expect_err("the settings are rejected");
            let SettingsError::Fields { problems, .. } = error else {
                panic!("no list of fields: {error}");
            };
            let places: Vec<_> = problems.iter().map(|p| p.field.as_str()).collect();
            assert_eq!(places, [$place]);
        })*
    };
}

refused! {
    empty_name: name = "", at "name";
    unspecified_traffic_address: traffic_listen = "0.0.0.0:6081", at "traffic_listen";
    announcements_from_other_vms: announce_listen = "10.20.1.21:7981", at "announce_listen";
    no_fabric: fabric = [], at "fabric";
    fabric_without_port: fabric = ["10.20.0.1:0"], at "fabric[0]";
    no_seed: seeds = [], at "seeds";
    no_flow: flow_limit = 0, at "flow_limit";
    too_many_flows: flow_limit = 1_000_001, at "flow_limit";
    keepalive_below_the_minimum: keepalive_ms = 999, at "keepalive_ms";
    keepalive_above_the_maximum: keepalive_ms = 3_600_001, at "keepalive_ms";
    three_keys: keys = [
        {"id": 1, "secret": ("1".repeat(64))},
        {"id": 2, "secret": ("2".repeat(64))},
        {"id": 3, "secret": ("3".repeat(64))},
    ], at "keys";
    unknown_level: log_level = "loud", at "log_level";
    unknown_field: operator_token = "not of an agent", at "operator_token";
}

#[test]
fn example_is_valid_and_names_every_field() {
    let checked = Settings::parse("agent.json", EXAMPLE).expect("the example is valid");
    let written: Value = serde_json::from_str(EXAMPLE).expect("the example parses");
    let read = serde_json::to_value(checked.settings()).expect("settings serialise");
    assert_eq!(written, read, "the example shows every field");
}
