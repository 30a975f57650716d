use super::*;

fn header_map(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for &(name, value) in lines {
        headers.append(HeaderName::from_static(name), value.parse().expect("a valid header value"));
    }
    headers
}

#[test]
fn unknown_headers_are_forwarded_unchanged_and_in_order() {
    let received = header_map(&[
        ("host", "app.svc"),
        ("idempotency-key", "k-1"),
        ("x-anything", "one"),
        ("content-type", "application/json"),
        ("x-anything", "two"),
    ]);
    let forwarded = end_to_end_headers(&received);
    let forwarded: Vec<_> = forwarded.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    let expected: [(&str, &[u8]); 4] = [
        ("idempotency-key", b"k-1"),
        ("x-anything", b"one"),
        ("x-anything", b"two"),
        ("content-type", b"application/json"),
    ];
    assert_eq!(forwarded, expected);
}

#[test]
fn hop_by_hop_and_replaced_headers_are_not_forwarded() {
    let received = header_map(&[
        ("connection", "close, X-Hop"),
        ("connection", "x-other-hop"),
        ("x-hop", "1"),
        ("x-other-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("content-length", "5"),
        ("request-id", "0a"),
        ("request-timeout-ms", "500"),
    ]);
    assert!(end_to_end_headers(&received).is_empty(), "{:?}", end_to_end_headers(&received));
}
