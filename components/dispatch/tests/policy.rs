//! Tests of policy files.

use dispatch::Policy;
use serde_norway::Value;

fn read(text: &str) -> Result<Policy, String> {
    let policy = serde_norway::from_str::<Policy>(text).map_err(|e| e.to_string())?;
    policy.check().map_err(|e| e.to_string())?;
    Ok(policy)
}

#[test]
fn omitted_entries_keep_their_defaults() {
    let policy = read("cascade: {keep_from: 40}").expect("right");
    assert_eq!(policy.cascade.keep_from, 40);
    assert_eq!(policy.placing, Policy::default().placing);
    assert_eq!(read("{}"), Ok(Policy::default()));
    let off = read("overload: {refuses: false}").expect("right");
    assert!(!off.overload.refuses && Policy::default().overload.refuses);
}

#[test]
fn an_invalid_entry_is_named() {
    let wrong = [
        "cascade: {keep_form: 40}",
        "cascade: {keep_from: 102}",
        "cascade: {in_time_share: -1}",
        "placing: {harm_share: .nan}",
        "placing: {far_ms: 1e9}",
        "placing: {uses_homes: 1}",
    ];
    let problems = wrong.map(|text| read(text).expect_err(text));
    insta::assert_snapshot!(problems.join("\n"), @r"
    cascade: unknown field `keep_form`, expected one of `keep_from`, `keep_middle_from`, `next_size_from`, `middle_from`, `in_time_share` at line 1 column 11
    cascade.keep_from: 102 is out of range; a confidence is 0 to 100, 101 for never
    cascade.in_time_share: -1 is out of range; a share of the objective is 0 to 100
    placing.harm_share: NaN is out of range; a share of the reading time is 0 to 1
    placing.far_ms: 1000000000 is out of range; a cost is 0 to 60000 ms
    placing.uses_homes: invalid type: integer `1`, expected a boolean at line 1 column 23
    ");
}

#[test]
fn the_documentation_has_every_entry_with_its_default() {
    let page = include_str!("../../../docs/POLICY.md");
    let policy = serde_norway::to_value(Policy::default()).expect("plain values");
    let Value::Mapping(parts) = policy else {
        panic!("a policy is a map of maps");
    };
    for (part, entries) in &parts {
        let entries = entries.as_mapping().expect("a map");
        for (entry, value) in entries {
            let name = format!("{}.{}", text(part), text(entry));
            let row = format!("| `{name}` | {} |", text(value));
            assert!(page.contains(&row), "docs/POLICY.md lacks {row}");
        }
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => number.as_f64().expect("a number").to_string(),
        other => serde_norway::to_string(other)
            .expect("plain")
            .trim()
            .to_owned(),
    }
}
