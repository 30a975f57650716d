use serde_json::json;

use super::*;

fn handle() -> (Handle, mpsc::Receiver<(Call, oneshot::Sender<Reply>)>) {
    let (calls, asked) = mpsc::channel(4);
    let (share, _) = Share::new("a", Session(1), 0, Default::default());
    let gate = Arc::new(SharedGate::new(Gate::new(Session(1)), Settings::default()));
    let (updates, name) = (mpsc::channel(4).0, "a".to_owned());
    (Handle { calls, updates, name, duties: share.duties(), gate }, asked)
}

/// The ledger's thread is held up, by a disk that flushes nothing for a while: what was proposed can be asked for, and any
/// other call has no answer. The thread has ended: no answer to either.
#[tokio::test(start_paused = true)]
async fn a_proposal_that_is_not_answered_in_time_names_its_number() {
    let (handle, mut asked) = handle();
    let (within, proposal) = (Duration::from_millis(950), || Call::proposal("text".into(), None));
    let reply = handle.ask(proposal(), within).await.expect("an answer");
    let Some((Call::Propose { id, .. }, _)) = asked.recv().await else { panic!("it was not passed on") };
    assert_eq!((reply.status, &reply.body["outcome"]), (202, &json!("unknown")));
    assert_eq!(reply.body["id"], json!(id.to_string()));
    assert_eq!(reply.body["see"], json!(format!("/policy/changes/{id}")));
    assert_eq!(handle.ask(Call::Status, within).await, None);
    drop(asked);
    assert_eq!(handle.ask(proposal(), within).await, None);
}
