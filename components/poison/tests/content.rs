//! Which parts of a request its content id depends on.

use poison::Content;

fn of(customer: &str, host: &str, method: &str, target: &str, body: &str) -> Content {
    Content::of(customer, host, method, target, body.as_bytes())
}

#[test]
fn same_request_has_same_id() {
    let first = of("alice", "host", "POST", "/a/b", "hello");
    assert_eq!(first, of("alice", "HOST", "POST", "/a/b", "hello"));
    assert_eq!(first.to_string().parse(), Ok(first));
}

#[test]
fn same_request_of_another_customer_has_another_id() {
    // A customer that knows another's requests could send them itself and crash upstreams with
    // them. The other customer's requests must not be quarantined because of that.
    let mut ids = vec![
        of("alice", "host", "POST", "/a/b", "hello"),
        of("bob", "host", "POST", "/a/b", "hello"),
        of("", "host", "POST", "/a/b", "hello"),
        of("alice", "host", "PUT", "/a/b", "hello"),
        of("alice", "host", "POST", "/a/b?c", "hello"),
        of("alice", "host", "POST", "/a/b", "hello "),
        // The same bytes, split differently between the parts.
        of("alicehost", "", "POST", "/a/b", "hello"),
        of("alice", "host", "POST", "/a/bhello", ""),
    ];
    let all = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), all);
}

#[test]
fn invalid_id_is_rejected() {
    for text in [
        "",
        "12",
        "+0112233445566778899aabbccddeeff",
        "zz112233445566778899aabbccddeeff",
    ] {
        assert!(text.parse::<Content>().is_err(), "{text}");
    }
}
