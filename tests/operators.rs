//! The operator's front while clients crowd the conductor.

mod player;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;

use player::{Program, address, discovery, platform, target};

/// More connections than the conductor has room for, of which every other one begins a request and stops.
const CROWD: usize = 600;
/// Callers that never bring a whole call, more than there are slots.
const SLOW: usize = 30;

fn call(base: &str, text: &str) -> String {
    let mut socket = TcpStream::connect(format!("{base}:8082")).expect("the operator's front listens");
    write!(socket, "{text} HTTP/1.1\r\nHost: operator\r\n\r\n").expect("it reads");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).expect("it answers");
    answer
}

#[test]
fn operators_are_answered_amid_a_crowd_of_clients_and_slow_callers() {
    let base = address();
    let _told = discovery(&base, ["r1", "w1"].map(|name| target(&base, name, "Ready")).join(","));
    let (config, place) = (platform(&base), format!("{base}:8082"));
    let vars = [("LB_CONFIG", &*config), ("LB_OPERATOR", Path::new(&place))];
    let mut program = Program::start(&base, &[], &vars);
    program.logs("ready, with");
    let mut crowd = Vec::new();
    for n in 0..CROWD {
        // What finds no room waits in the system's queue or is closed; either way the crowd goes on.
        let Ok(mut client) = TcpStream::connect(format!("{base}:8081")) else { continue };
        if n % 2 == 0 {
            let _ = write!(client, "POST /v1/chat/completions HTTP/1.1\r\nRequest-Id: ");
        }
        crowd.push(client);
    }
    let slow = (0..SLOW).map(|_| {
        let mut caller = TcpStream::connect(format!("{base}:8082")).expect("the operator's front listens");
        write!(caller, "GET /healthcheck HTTP/1.1\r\n").expect("it reads");
        caller
    });
    let slow: Vec<_> = slow.collect();
    for _ in 0..20 {
        assert!(call(&base, "GET /healthcheck").starts_with("HTTP/1.1 200"));
        assert!(call(&base, "POST /instances/w1/maint").starts_with("HTTP/1.1 200"));
        assert!(call(&base, "POST /instances/w1/ready").starts_with("HTTP/1.1 200"));
        assert!(call(&base, "POST /instances/w9/maint").starts_with("HTTP/1.1 404"));
    }
    drop((crowd, slow));
    let log = program.end();
    assert!(log.contains("\"bans\":20,") && log.contains("\"calls_refused\":20,"), "{log}");
}

/// Starts with an operator's address that cannot be used: one line on standard error, and an exit that is no success.
fn refused(place: &str) -> String {
    let base = address();
    let config = platform(&base);
    let vars = [("LB_CONFIG", &*config), ("LB_OPERATOR", Path::new(place))];
    Program::start(&base, &[], &vars).ended(false)
}

#[test]
fn an_operators_address_that_cannot_be_used_is_told_in_one_line() {
    let told = |log: &str| log.lines().filter(|l| l.starts_with("croftsill: ")).count();
    let log = refused("nowhere:80");
    assert!(log.contains("croftsill: LB_OPERATOR: \"nowhere:80\" is not an address with a port"), "{log}");
    assert_eq!(told(&log), 1, "{log}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let place = taken.local_addr().expect("its address").to_string();
    let log = refused(&place);
    assert!(log.contains(&format!("croftsill: cannot listen on {place}")), "{log}");
    assert_eq!(told(&log), 1, "{log}");
}
