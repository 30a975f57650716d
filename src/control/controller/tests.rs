use serde_json::json;

use super::*;
use crate::replica::idempotency::RequestName;

pub(crate) type Calls = mpsc::Receiver<(Call, oneshot::Sender<Reply>)>;

fn handle() -> (Handle, Calls) {
    let (handle, asked, _) = handle_and_updates();
    (handle, asked)
}

/// A handle without a controller: the test plays it.
pub(crate) fn handle_and_updates() -> (Handle, Calls, mpsc::Receiver<StateUpdate>) {
    let (calls, asked) = mpsc::channel(4);
    let (share, _) = SharedState::new("a", Session(1), 0, Default::default());
    let gate = Arc::new(SharedGate::new(Gate::new(Session(1)), Settings::default()));
    let (updates, told) = mpsc::channel(4);
    (Handle { calls, updates, name: "a".to_owned(), duties: share.duties(), gate }, asked, told)
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

/// A front that waits no longer, as its client left or its time is over, has sent nothing: the claim that is granted to it late
/// is withdrawn, and so is one that it holds and does not use. One that it used stays.
#[tokio::test(start_paused = true)]
async fn a_claim_that_is_granted_to_nobody_is_withdrawn() {
    let (handle, _asked, mut told) = handle_and_updates();
    let name = RequestName(7);
    let of = ClaimId { session: Session(1), number: 1 };
    let given_up = tokio::time::timeout(Duration::from_millis(300), handle.claim(name)).await;
    assert!(given_up.is_err(), "the ledger's thread is held up");
    let Some(StateUpdate::Claim(_, answer)) = told.recv().await else { panic!("no claim") };
    answer.send((ClaimDecision::Send, Some(of))).expect("it is still waited for");
    let withdrawn = |update| matches!(update, Some(StateUpdate::Withdraw(RequestName(7), by)) if by == of);
    assert!(withdrawn(told.recv().await), "granted late");

    for used in [false, true] {
        let claiming = tokio::spawn({
            let handle = handle.clone();
            async move { handle.claim(name).await }
        });
        let Some(StateUpdate::Claim(_, answer)) = told.recv().await else { panic!("no claim") };
        answer.send((ClaimDecision::Send, Some(of))).expect("it is waited for");
        let Ok(mut claim) = claiming.await.expect("no panic") else { panic!("not granted") };
        if used {
            claim.used();
        }
        drop(claim);
        if used {
            assert!(told.try_recv().is_err(), "it may have run");
        } else {
            assert!(withdrawn(told.recv().await), "not used");
        }
    }
}

/// What a claim came to is told once, whichever way it is said.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_claim_is_told_once() {
    let (handle, _asked, mut told) = handle_and_updates();
    let of = ClaimId { session: Session(1), number: 1 };
    let claim = |used| GrantedClaim::new(handle.clone(), RequestName(7), of, used);
    for used in [false, true] {
        claim(used).completed();
        assert!(matches!(told.try_recv(), Ok(StateUpdate::Completed(..))));
        assert!(told.try_recv().is_err(), "used: {used}");
        claim(used).withdrawn();
        assert!(matches!(told.try_recv(), Ok(StateUpdate::Withdraw(..))));
        assert!(told.try_recv().is_err(), "used: {used}");
    }
}
