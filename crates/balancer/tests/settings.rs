//! Checks of a balancer's settings file.
//!
//! Guards against invalid settings that are accepted, problems that are reported one at a time, and
//! errors that reveal a secret.

use citronhollow_balancer::settings::{Checked, Settings};
use citronhollow_operator::settings::SettingsError;
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../examples/settings/balancer.json");

fn load(change: impl FnOnce(&mut Value)) -> Result<Checked, SettingsError> {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("the example parses");
    change(&mut settings);
    Settings::parse("balancer.json", &settings.to_string())
}

fn fields(outcome: Result<Checked, SettingsError>) -> Vec<String> {
    match outcome.expect_err("the settings are refused") {
        SettingsError::Fields { problems, .. } => {
            assert!(problems.iter().all(|p| !p.remedy.is_empty()));
            problems.into_iter().map(|p| p.field).collect()
        }
        other => panic!("no list of fields: {other}"),
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

macro_rules! refused {
    ($($name:ident: $field:ident = $value:tt, at $place:literal;)*) => {
        $(#[test] fn $name() {
            let outcome = load(|settings| settings[stringify!($field)] = json!($value));
            assert_eq!(fields(outcome), [$place]);
        })*
    };
}

refused! {
    empty_name: name = "", at "name";
    name_that_reads_as_an_identity: name = "00112233445566ff", at "name";
    domain_with_a_space: domain = "a b", at "domain";
    unspecified_fabric_address: fabric_listen = "0.0.0.0:6080", at "fabric_listen";
    unspecified_control_address: control_listen = "[::]:7946", at "control_listen";
    one_address_twice: control_listen = "10.20.0.11:6080", at "control_listen";
    operator_on_the_control_address: operator_listen = "10.20.0.11:7946", at "operator_listen";
    seed_without_port: seeds = ["10.20.0.12:0"], at "seeds[0]";
    platform_without_port: platform = "10.30.0.5:0", at "platform";
    no_key: keys = [], at "keys";
    short_key: keys = [{"id": 1, "secret": "ff"}], at "keys[0]";
    short_token: operator_token = "secret", at "operator_token";
    token_with_a_space: operator_token = "a token with some spaces", at "operator_token";
    no_thread: traffic_threads = 0, at "traffic_threads";
    too_many_threads: traffic_threads = 65, at "traffic_threads";
    unknown_level: log_level = "loud", at "log_level";
    metrics_to_nowhere: metrics = "127.0.0.1:0", at "metrics";
    number_for_a_name: name = 5, at "name";
    unknown_field: flavour = 5, at "flavour";
}

cases! {
    example_is_valid_and_names_every_field => {
        let checked = Settings::parse("balancer.json", EXAMPLE).expect("the example is valid");
        let written: Value = serde_json::from_str(EXAMPLE).expect("the example parses");
        let read = serde_json::to_value(checked.settings()).expect("settings serialise");
        assert_eq!(written, read, "the example shows every field");
    };

    all_problems_are_reported_at_once => {
        let outcome = load(|settings| {
            settings["colour"] = json!("red");
            settings["size"] = json!(1);
            settings["traffic_threads"] = json!(0);
            settings["platform"] = json!("nowhere");
            settings["log_level"] = json!("loud");
            settings["keys"] = json!([{"id": 1, "secret": "aa"}, {"id": 1, "secret": "bb"}]);
            settings.as_object_mut().expect("an object").remove("domain");
        });
        let mut fields = fields(outcome);
        fields.sort();
        let expected = [
            "colour", "domain", "keys[0]", "keys[1]", "keys", "log_level", "platform", "size",
            "traffic_threads",
        ];
        let mut expected = expected.map(String::from);
        expected.sort();
        assert_eq!(fields, expected);
    };

    optional_fields_may_be_absent => {
        let optional = ["seeds", "traffic_threads", "metrics", "log_level", "trace_one_in", "traces"];
        let outcome = load(|settings| {
            let settings = settings.as_object_mut().expect("an object");
            for name in optional {
                settings.remove(name);
            }
        });
        assert_eq!(outcome.expect("valid").settings().traffic_threads, 1);
    };

    port_zero_lets_the_kernel_choose => {
        let outcome = load(|settings| {
            for name in ["fabric_listen", "control_listen", "operator_listen"] {
                settings[name] = json!("127.0.0.1:0");
            }
        });
        assert!(outcome.is_ok());
    };

    no_secret_is_repeated_in_an_error => {
        let outcome = load(|settings| {
            settings["keys"] = json!("hidden-value");
            settings["operator_token"] = json!(["hidden-value"]);
        });
        let text = outcome.expect_err("refused").to_string();
        assert!(text.contains("keys: malformed"), "{text}");
        assert!(!text.contains("hidden-value"), "{text}");
    };

    short_secret_is_not_repeated_either => {
        let outcome = load(|settings| {
            settings["keys"] = json!([{"id": 1, "secret": "hidden"}]);
            settings["operator_token"] = json!("hidden");
        });
        let error = outcome.expect_err("refused");
        assert!(!error.to_string().contains("hidden"), "{error}");
        assert!(!format!("{error:?}").contains("hidden"), "{error:?}");
    };

    field_given_twice_is_refused => {
        let text = EXAMPLE.replacen('{', "{\"name\": \"twice\",", 1);
        let error = Settings::parse("balancer.json", &text).expect_err("refused");
        assert!(error.to_string().contains("duplicate field `name`"), "{error}");
    };

    text_that_is_no_object_is_refused_with_its_line => {
        let error = Settings::parse("balancer.json", "{\n\"name\":").expect_err("refused");
        assert!(error.to_string().starts_with("balancer.json: EOF"), "{error}");
        assert!(error.to_string().contains("line 2"), "{error}");
    };

    absent_file_is_named => {
        let error = Settings::load("no/such/file.json").expect_err("refused");
        assert!(error.to_string().starts_with("no/such/file.json: "), "{error}");
    };
}
