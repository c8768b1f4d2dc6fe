//! Names of the changed fields of a settings file.

use citronhollow_operator::reload::changed_fields;
use serde_json::json;

#[test]
fn changed_and_new_fields_are_named() {
    let old = json!({"log_level": "info", "grace_ms": 6000});
    let new = json!({"log_level": "debug", "grace_ms": 6000, "seeds": []});
    assert_eq!(changed_fields(&old, &new), ["log_level", "seeds"]);
}

#[test]
fn equal_settings_have_no_changed_fields() {
    let settings = json!({"log_level": "info"});
    assert!(changed_fields(&settings, &settings).is_empty());
}
