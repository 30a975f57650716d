use super::*;

fn parse(text: &str) -> Result<Roster, String> {
    Roster::parse(text, Path::new("/x"), "n1")
}

const TWO: &str = "cluster = \"c\"\nstore = \"l.redb\"\n[[peers]]\nname = \"n1\"\naddress = \"127.0.0.1:1\"\nsite = \"a\"\n\
    [[peers]]\nname = \"n2\"\naddress = \"127.0.0.1:2\"\nsite = \"b\"\nvia = \"127.0.0.1:9\"\n";

#[test]
fn a_file_tells_who_there_is_and_each_way() {
    let roster = parse(TWO).expect("a roster");
    assert_eq!(roster.store, Path::new("/x/l.redb"));
    assert_eq!((roster.way(&roster.peers[0]).0.port(), roster.way(&roster.peers[0]).1), (1, true));
    assert_eq!((roster.way(&roster.peers[1]).0.port(), roster.way(&roster.peers[1]).1), (9, false));
}

#[test]
fn faults_name_what_is_wrong() {
    let fault = |from: &str, to: &str| parse(&TWO.replace(from, to)).expect_err("a fault");
    assert!(fault("\"n1\"", "\"n3\"").contains("\"n1\", is not there"));
    assert!(fault("\"n2\"", "\"n1\"").contains("\"n1\" stands there twice"));
    assert!(fault("127.0.0.1:2", "127.0.0.1:1").contains("127.0.0.1:1 stands there twice"));
    assert!(fault("via =", "vai =").starts_with("line 11: "));
    assert!(fault("\"c\"", "\"c d\"").contains("is no name"));
}
