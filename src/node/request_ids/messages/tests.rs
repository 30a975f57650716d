use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn ids_come_back_as_they_were_written(ids in prop::collection::vec(any::<u128>(), 0..20)) {
        let message = IdMessage::Known(KnownIds { open: IdList(ids.clone()), may_have_run: IdList(ids), ..KnownIds::default() });
        let text = serde_json::to_string(&message).expect("a text");
        prop_assert_eq!(serde_json::from_str::<IdMessage>(&text).expect("a message"), message);
    }
}

#[test]
fn what_is_not_a_list_of_ids_is_refused() {
    for text in
        ["1", "\"1\"", "\"é\"", &format!("\"{}\"", "g".repeat(32)), &format!("\"{}\"", "a".repeat(33))]
    {
        assert!(serde_json::from_str::<IdList>(text).is_err(), "{text}");
    }
}
