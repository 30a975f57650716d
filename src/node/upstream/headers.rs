//! Selects the headers of a client's request that are forwarded to an instance. As a proxy has to (RFC 9110,
//! section 7.6), the conductor forwards headers that it does not know and drops those of a single connection.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Header with the id of the request, which instances use in their log and for releases.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Header that tells an instance how long the conductor waits for its answer, in milliseconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Headers that concern a single connection even if `Connection` does not name them.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Headers that are written anew for each attempt, or dropped: a client that expects `100 Continue` has
/// received it before the conductor has the body.
const REPLACED_HEADERS: [HeaderName; 5] = [HOST, CONTENT_LENGTH, EXPECT, REQUEST_ID, REQUEST_TIMEOUT];

/// Returns whether a `Connection` header names this header as one of the single connection.
fn is_named_by_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    let lists = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    lists.flat_map(|list| list.split(',')).any(|listed| listed.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Returns the headers to forward unchanged, in the order in which they came.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let is_dropped = |name: &HeaderName| {
        HOP_BY_HOP_HEADERS.contains(name)
            || REPLACED_HEADERS.contains(name)
            || is_named_by_connection(headers, name)
    };
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| !is_dropped(name)) {
        forwarded.append(name, value.clone());
    }
    forwarded
}

#[cfg(test)]
mod tests;
