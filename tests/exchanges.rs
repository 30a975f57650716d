//! Recorded exchanges, played against the program. Each file says what it guards.

mod player;

macro_rules! exchanges {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            player::play(include_str!(concat!("exchanges/", stringify!($name), ".txt")));
        }
    )*};
}

exchanges! {
    bad_input
    body_limits
    chat_bad_input
    chat_error_event
    chat_left
    chat_left_behind_bytes
    chat_refused
    chat_stream
    chat_unsafe_broken_after
    chat_unsafe_broken_before
    chat_whole
    crossing_end_unread
    crossing_left_as_read
    crossing_left_at_once
    crossing_list
    crossing_operator_call
    crossing_sigterm_half_head
    crossing_sigterm_request
    crossing_signals
    crossing_whole_and_reset
    deadline
    deadline_unsafe
    discovery
    drain
    end_to_end
    intake
    left_after_sigterm
    left_behind_bytes
    left_while_reading
    left_while_streaming
    long_line
    maintenance
    operator_calls
    operator_drain
    probe
    read_lost
    reload
    returning
    safe_broken_before
    second_answer
    served
    sigterm
    silent_stream
    spoilt_after
    spoilt_before
    turned_away
    unreachable
    unsafe_broken_after
    unsafe_broken_before
}
