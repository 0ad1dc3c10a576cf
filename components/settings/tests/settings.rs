//! Loading of settings files as an operator would write them, and the errors for wrong ones.

const MINIMAL: &str = "
cluster: kochi
daemon: entry-1
failure_domain: kaloor
region: ernakulam
callers: {listen: 127.0.0.1:7080}
operators: {listen: 127.0.0.1:7081, tokens: {asha: dev-operator}}
peers:
  listen: 127.0.0.1:7082
  keys: [{id: first, secret: 0123456789abcdef}]
store: {endpoints: ['127.0.0.1:2379']}
";

#[test]
fn can_load_minimal_settings_with_defaults() {
    let settings = settings::from_yaml("s.yaml", MINIMAL).unwrap();
    assert_eq!(settings.callers.max_body.to_string(), "4MiB");
    assert_eq!(settings.control.tick.to_string(), "200ms");
}

#[test]
fn can_print_settings_that_load_again() {
    let settings = settings::from_yaml("s.yaml", MINIMAL).unwrap();
    let text = serde_norway::to_string(&settings).unwrap();
    assert_eq!(settings::from_yaml("s.yaml", &text).unwrap(), settings);
}

#[test]
fn errors_name_the_unknown_key_its_line_and_the_known_ones() {
    let text = MINIMAL.replace("daemon:", "demon:");
    let error = settings::from_yaml("s.yaml", &text)
        .unwrap_err()
        .to_string();
    insta::assert_snapshot!(error);
}

#[test]
fn errors_name_the_ill_formed_value() {
    let text = MINIMAL.replace("127.0.0.1:7080", "localhost");
    let error = settings::from_yaml("s.yaml", &text)
        .unwrap_err()
        .to_string();
    insta::assert_snapshot!(error);
}

#[test]
fn errors_list_every_broken_rule() {
    let text = MINIMAL
        .replace("0123456789abcdef", "short")
        .replace("dev-operator", "dev");
    let text = format!("{text}\nclaims: {{retry_window: 1m, lease_slot: 2days}}\n");
    let error = settings::from_yaml("s.yaml", &text)
        .unwrap_err()
        .to_string();
    insta::assert_snapshot!(error);
}
