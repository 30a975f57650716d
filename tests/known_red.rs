//! Which runs of the tests are good: all pass but for those that KNOWN-RED.txt names, which must fail.

use std::process::Command;

const PASSED: &str = "     Running tests/lists.rs (target/debug/deps/lists-200271e9fa6a2206)\n\ntest held ... ok\n\
                      test told ... ok\n\ntest result: ok. 2 passed; 0 failed\n";
const FAILED: &str = "     Running tests/lists.rs (target/debug/deps/lists-200271e9fa6a2206)\n\ntest held ... ok\n\
                      test told ... FAILED\n\ntest result: FAILED. 1 passed; 1 failed\n";
const TOLD: &str = "lists told | the clock is slow | 26\n";

fn judged(known: &str, log: &str, status: u32) -> (bool, String) {
    let dir = tempfile::tempdir().expect("a folder");
    let file = |name: &str, text: &str| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let (known, log) = (file("known", known), file("log", log));
    let judge = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/judge");
    let run = Command::new("bash").arg(judge).args([known, log]).arg(status.to_string()).output();
    let run = run.expect("bash runs");
    (run.status.success(), String::from_utf8_lossy(&run.stdout).into_owned())
}

#[test]
fn a_named_test_that_fails_is_printed_and_passed_over() {
    let (good, said) = judged(TOLD, FAILED, 101);
    assert!(good && said.contains(&format!("passed over: {}", TOLD.trim())), "{said}");
}

#[test]
fn everything_else_is_red() {
    let four = ["a", "b", "c", "told"].map(|name| format!("lists {name} | cause | 1\n")).concat();
    let crashed =
        format!("{FAILED}     Running tests/ramp.rs (target/debug/deps/ramp-0a)\n\ntest ramp ... ok\n");
    let cases = [
        ("a named test that passes", TOLD, PASSED, 0),
        ("a test that is not named", "lists held | cause | 1\n", FAILED, 101),
        ("a part of a name", "lists tol | cause | 1\n", FAILED, 101),
        ("another binary's test of that name", "ramp told | cause | 1\n", FAILED, 101),
        ("an unknown name beside a good line", &format!("{TOLD}lists nobody | cause | 1\n"), FAILED, 101),
        ("a fourth line", &four, FAILED, 101),
        ("a line without a cause", "lists told\n", FAILED, 101),
        ("a binary without a result", TOLD, &crashed, 101),
        ("no test at all", TOLD, "", 101),
    ];
    for (what, known, log, status) in cases {
        let (good, said) = judged(known, log, status);
        assert!(!good && said.contains("known red: "), "{what}: {said}");
    }
}
