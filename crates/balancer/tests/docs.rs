//! The documentation lists every setting, document field and error kind, and its examples work.
//!
//! Guards against documentation that falls behind the code when a field or an error kind is added.

use citronhollow_core::config::{self, Documents};
use citronhollow_core::error::ErrorKind;
use serde_json::{Map, Value};

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const GUIDE: &str = include_str!("../../../docs/GUIDE.md");
const BALANCER: &str = include_str!("../../../examples/settings/balancer.json");
const AGENT: &str = include_str!("../../../examples/settings/agent.json");
const GREENRINK: &str = include_str!("../../../examples/documents/greenrink.json");

fn json_blocks(page: &str) -> Vec<&str> {
    let blocks = page.split("```json\n").skip(1);
    blocks
        .map(|rest| rest.split("```").next().unwrap_or(rest))
        .collect()
}

fn fields(text: &str) -> Map<String, Value> {
    serde_json::from_str(text).expect("the example parses")
}

/// The part of a page between two headings.
fn section<'a>(page: &'a str, from: &str, to: &str) -> &'a str {
    let (_, rest) = page.split_once(from).expect("the first heading");
    rest.split_once(to).expect("the second heading").0
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    every_setting_of_a_balancer_is_explained => {
        let table = section(OPERATIONS, "### Balancer", "### Agent");
        for name in fields(BALANCER).keys() {
            assert!(table.contains(&format!("`{name}`")), "{name}");
        }
    };

    every_setting_of_an_agent_is_explained => {
        let table = section(OPERATIONS, "### Agent", "## Documents");
        for name in fields(AGENT).keys() {
            assert!(table.contains(&format!("`{name}`")), "{name}");
        }
    };

    every_field_of_a_document_is_explained => {
        let table = section(OPERATIONS, "## Documents", "## Stop and replace");
        for kind in fields(GREENRINK).values() {
            for document in kind.as_array().expect("a list") {
                for name in document.as_object().expect("an object").keys() {
                    assert!(table.contains(&format!("`{name}`")), "{name}");
                }
            }
        }
    };

    every_kind_of_refusal_is_explained_as_the_table_has_it => {
        let table = section(OPERATIONS, "## Refusals", "## Operator's HTTP");
        for kind in ErrorKind::ALL {
            let name = serde_json::to_value(kind).expect("a name");
            let name = name.as_str().expect("text");
            let row = table.lines().find(|line| line.starts_with(&format!("| `{name}` |")));
            let answer = kind.answer();
            let codes = format!("| {} | {} |", answer.status, answer.exit);
            assert!(row.is_some_and(|row| row.contains(&codes)), "{name} with {codes}");
        }
    };

    examples_of_the_guide_make_one_consistent_set => {
        let mut set = Documents::default();
        for block in json_blocks(GUIDE) {
            let documents: Documents = serde_json::from_str(block).expect("documents");
            set.services.extend(documents.services);
            set.pools.extend(documents.pools);
            set.rules.extend(documents.rules);
        }
        assert_eq!(config::check(&set, &[]), []);
        assert_eq!((set.services.len(), set.pools.len(), set.rules.len()), (1, 2, 1));
    };
}
