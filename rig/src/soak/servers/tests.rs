use super::*;

const KILLED: Micros = 5_000_000;

/// Returns how many states are found to be held too long after a read over a connection that was opened then, by a conductor that
/// was killed at [`KILLED`]. The network reads the read's bytes, and passes them on, after the kill.
fn held_long(opened: Micros, from: usize) -> usize {
    let mut seen = Seen::default();
    seen.killed(0, KILLED);
    let arrived = KILLED + 300_000;
    let number = seen.arrive(Attempt {
        id: "1".into(),
        at: "r1".into(),
        role: Role::Read,
        from,
        begun: arrived,
        sent: arrived,
        arrived,
        ended: None,
        events: Vec::new(),
        ran: false,
        told_ms: Some(1),
        connection: Connection::opened_at(opened),
    });
    seen.end(number, arrived);
    seen.hold(number, arrived);
    seen.check_all(arrived + HELD_MOST + 1);
    seen.held_long.len()
}

#[test]
fn only_what_a_process_sent_that_has_been_killed_is_not_held_against_its_conductor() {
    assert_eq!(held_long(KILLED - 1, 0), 0, "it was opened by the process that was killed");
    assert_eq!(held_long(KILLED + 1, 0), 1, "it was opened by the next process");
    assert_eq!(held_long(KILLED - 1, 1), 1, "it was opened by another conductor");
}
