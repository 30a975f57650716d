use super::*;

/// Guards against a stream that is taken for another answer because of how its content type is written.
#[test]
fn media_types_are_compared_without_case_and_parameters() {
    let is_event_stream = |content_type: &'static str| {
        let content_type = Some(HeaderValue::from_static(content_type));
        AnswerHead { status: StatusCode::OK, content_type }.is_event_stream()
    };
    assert!(is_event_stream("text/event-stream"));
    assert!(is_event_stream("Text/Event-Stream; charset=UTF-8"));
    assert!(is_event_stream("text/event-stream ;a=b"));
    assert!(!is_event_stream("text/event-streams"));
    assert!(!is_event_stream("application/json"));
}
