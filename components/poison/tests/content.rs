//! What a content is, and what is no part of it.

use poison::Content;

fn of(customer: &str, host: &str, method: &str, target: &str, body: &str) -> Content {
    Content::of(customer, host, method, target, body.as_bytes())
}

#[test]
fn the_same_request_has_the_same_name() {
    let first = of("alice", "host", "POST", "/a/b", "hello");
    assert_eq!(first, of("alice", "HOST", "POST", "/a/b", "hello"));
    assert_eq!(first.to_string().parse(), Ok(first));
}

#[test]
fn one_customers_content_is_not_anothers() {
    // A customer that knows another's requests sends them itself and lets upstreams end under
    // them. The other customer's requests must not be refused for it.
    let mut names = vec![
        of("alice", "host", "POST", "/a/b", "hello"),
        of("bob", "host", "POST", "/a/b", "hello"),
        of("", "host", "POST", "/a/b", "hello"),
        of("alice", "host", "PUT", "/a/b", "hello"),
        of("alice", "host", "POST", "/a/b?c", "hello"),
        of("alice", "host", "POST", "/a/b", "hello "),
        // Bytes moved from one part to the next.
        of("alicehost", "", "POST", "/a/b", "hello"),
        of("alice", "host", "POST", "/a/bhello", ""),
    ];
    let all = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), all);
}

#[test]
fn a_text_that_names_none_is_refused() {
    for text in [
        "",
        "12",
        "+0112233445566778899aabbccddeeff",
        "zz112233445566778899aabbccddeeff",
    ] {
        assert!(text.parse::<Content>().is_err(), "{text}");
    }
}
