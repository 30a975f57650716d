//! The adapter's translation, on the wire's own text.

use croftsill::wire::Adapter;

const OPTIONS: &str = r#"{"accounts":[{"name":"t1","quotaPerS":10.0,"share":1.0}],"balancers":2,"failureDomains":["z1"],
"familyInfo":{"ahead":false,"aimUsPer1000PromptTokens":[40000.0],"farPrice":0.03,"localRead":false,
"memoryTokens":[200000,100000],"pinLimit":500.0,"resume":false,"roleByKind":["read","write"],"tokenAim":[60.0]},
"invariants":{"answerSlack":8.0,"drainGrace":2000.0,"fallMultiple":4.0,"overloadFor":1000.0,"rampTime":12000.0,
"startCapacity":0.26},"kinds":["k1","k2"],"lanes":[{"deadline":4000.0,"lateWorth":0.2,"name":"c1","objective":1000.0,
"semantics":"read_like","stream":true,"worth":1.0}],"limits":{"cancelling":true,"maxAttempts":4,"maxRetryAfter":1000.0,
"mayDuplicate":false,"mayProbe":false,"retryAfter":true},"locality":"z1","membershipMode":"push","unheardOf":[1]}"#;

fn launch(options: &str) -> String {
    let options = options.replace('\n', "");
    let list = r#"{"t":"update","form":"Persisted","rev":1,"elements":[{"dc":"z1","sku":"k1","pod":0,"phase":"SERVING","host":1},{"dc":"z1","sku":"k2","pod":0,"phase":"SERVING","host":2}]}"#;
    format!(
        r#"{{"atTime":1000.0,"dispatchers":[{{"dispatcherId":3,"events":[{{"t":"launch","salt":1,"options":{options}}},{list}]}}]}}"#
    )
}

fn batch(at: f64, event: &str) -> String {
    format!(r#"{{"atTime":{at},"dispatchers":[{{"dispatcherId":3,"events":[{event}]}}]}}"#)
}

fn launched() -> Adapter {
    let mut adapter = Adapter::default();
    assert_eq!(adapter.batch(launch(OPTIONS).as_bytes()).unwrap(), r#"{"dispatchers":[]}"#);
    adapter
}

const CALL: &str = r#"{"t":"call","handle":9,"nPrompt":1800,"remaining":4000.0,"priority":"c1","outputCap":256,"clientGroup":"t1","novel":{}}"#;

#[test]
fn a_call_is_sent_in_milliseconds_and_the_answer_goes_on_to_the_writer() {
    let mut adapter = launched();
    let reply = adapter.batch(batch(1001.5, CALL).as_bytes()).unwrap();
    assert!(reply.contains(r#"{"t":"send","handle":9,"host":1,"tryFor":"#), "{reply}");
    let read = r#"{"t":"reply","handle":9,"roundNo":0,"host":1,"stateCode":"ready_to_answer","took":18.5,"healthInfo":{"x0":0.4,"new":1}}"#;
    let reply = adapter.batch(batch(1020.0, read).as_bytes()).unwrap();
    assert!(reply.contains(r#"{"t":"send","handle":9,"host":2,"#), "{reply}");
}

#[test]
fn a_stopped_instance_forgets_all() {
    let mut adapter = launched();
    adapter.batch(batch(1001.5, CALL).as_bytes()).unwrap();
    let restart = batch(1002.0, &format!(r#"{{"t":"destroy"}},{}"#, &event_of(&launch(OPTIONS))));
    assert_eq!(adapter.batch(restart.as_bytes()).unwrap(), r#"{"dispatchers":[]}"#);
    let reply = adapter.batch(batch(9000.0, r#"{"t":"reminder","nonce":0}"#).as_bytes()).unwrap();
    assert_eq!(reply, r#"{"dispatchers":[]}"#);
}

fn event_of(launch: &str) -> String {
    let start = launch.find(r#"{"t":"launch""#).unwrap();
    launch[start..launch.len() - 4].to_string()
}

#[test]
fn malformed_input_is_named_plainly() {
    for (event, word) in [
        (r#"{"t":"call","handle":9}"#, "missing field"),
        (r#"{"t":"call","handle":"x"}"#, "invalid type"),
        (r#"{"t":"reply","handle":9,"host":1,"took":1.0,"stateCode":"fine"}"#, "unknown variant `fine`"),
        (r#"{"t":"nonesuch"}"#, "unknown variant `nonesuch`"),
        (
            r#"{"t":"call","handle":9,"nPrompt":1,"remaining":1,"priority":"c9","outputCap":1}"#,
            "unknown class \"c9\"",
        ),
    ] {
        let fault = launched().batch(batch(1001.0, event).as_bytes()).unwrap_err();
        assert!(fault.contains(word), "{fault}");
    }
    let fault = launched().batch(b"not JSON").unwrap_err();
    assert!(fault.contains("expected"), "{fault}");
}

#[test]
fn settings_that_contradict_themselves_are_named_plainly() {
    let no_reader = OPTIONS.replace(r#"["read","write"]"#, r#"["write","write"]"#);
    let fault = Adapter::default().batch(launch(&no_reader).as_bytes()).unwrap_err();
    assert!(fault.contains("no kind reads prompts"), "{fault}");
    let short = OPTIONS.replace(r#""tokenAim":[60.0]"#, r#""tokenAim":[]"#);
    let fault = Adapter::default().batch(launch(&short).as_bytes()).unwrap_err();
    assert!(fault.contains("tokenAim has no entry"), "{fault}");
}

#[test]
fn the_adapter_exits_with_a_plain_line_and_no_output_on_bad_input() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_croftsill-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"{\"atTime\":1}\n").unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(!output.status.success() && output.stdout.is_empty());
    let fault = String::from_utf8(output.stderr).unwrap();
    assert!(fault.starts_with("croftsill-adapter: line 1: missing field `dispatchers`"), "{fault}");
    assert_eq!(fault.lines().count(), 1);
}

#[test]
fn every_action_has_its_text() {
    use croftsill::api::*;
    let (request, host) = (RequestId(9), HostId(2));
    for (action, text) in [
        (
            Action::Send { request, host, time_out: 80_500 },
            r#"{"t":"send","handle":9,"host":2,"tryFor":80.5}"#,
        ),
        (Action::Cancel { request, attempt: AttemptId(1) }, r#"{"t":"abandon","handle":9,"roundNo":1}"#),
        (
            Action::Refuse { request, retry_after: Some(250_000) },
            r#"{"t":"reject","handle":9,"notBeforeFor":250.0}"#,
        ),
        (Action::Refuse { request, retry_after: None }, r#"{"t":"reject","handle":9}"#),
        (Action::Fail(request), r#"{"t":"error","handle":9}"#),
        (Action::Release(request), r#"{"t":"clearState","handle":9}"#),
        (Action::ReserveWriter { request, host }, r#"{"t":"pairEarly","handle":9,"host":2}"#),
        (Action::MoveStream(request), r#"{"t":"redirect","handle":9}"#),
        (Action::Probe(host), r#"{"t":"soundOut","host":2}"#),
        (Action::CloseIdleConnections(host), r#"{"t":"letGo","host":2}"#),
        (Action::ListHosts, r#"{"t":"getList"}"#),
        (Action::WatchHosts, r#"{"t":"observe","want":true}"#),
        (Action::SetTimer { token: 7, after: 5_000 }, r#"{"t":"wakeMe","nonce":7,"after":5.0}"#),
        (Action::Log("two".into()), r#"{"t":"noteDown","bodyText":"two"}"#),
    ] {
        assert_eq!(croftsill::wire::action_text(action).unwrap(), text);
    }
}
