use super::*;

/// A second of everybody's time in steps, all datagrams delivered but those of and to the silent.
fn pass(all: &mut BTreeMap<String, Alive>, now: &mut Micros, seconds: Micros, silent: &str) {
    for _ in 0..seconds * 20 {
        *now += 50_000;
        let sent: Vec<_> = all
            .iter_mut()
            .flat_map(|(from, one)| {
                one.due(*now).into_iter().map(|(to, d)| (from.clone(), to, d)).collect::<Vec<_>>()
            })
            .collect();
        for (from, to, datagram) in sent {
            if from != silent && to != silent {
                let one = all.get_mut(&to).expect("a member");
                one.hear(*now, &from, &datagram);
            }
        }
        all.values_mut().for_each(|one| drop(one.changes()));
    }
}

fn fleet(size: usize) -> (BTreeMap<String, Alive>, Micros) {
    let names: BTreeSet<_> = (0..size).map(|n| format!("n{n}")).collect();
    let one = |(n, name): (usize, &String)| {
        let mut one = Alive::new(name, 1_000, n as u64);
        one.know(names.clone());
        (name.clone(), one)
    };
    (names.iter().enumerate().map(one).collect(), 1_000)
}

#[test]
fn all_hear_all_and_one_that_falls_silent_is_missed_and_comes_back() {
    let (mut all, mut now) = fleet(5);
    pass(&mut all, &mut now, 20, "");
    assert!(all.values().all(|one| (0..5).all(|n| one.hears(&format!("n{n}")))));
    pass(&mut all, &mut now, 30, "n3");
    let misses = all.iter().filter(|(name, one)| *name != "n3" && !one.hears("n3")).count();
    assert_eq!(misses, 4);
    assert!(all["n0"].hears("n1") && all["n4"].hears("n2"));
    pass(&mut all, &mut now, 90, "");
    assert!(all.values().all(|one| one.hears("n3")), "it is not heard again");
}

#[test]
fn noise_and_strangers_change_nothing() {
    let (mut all, mut now) = fleet(3);
    pass(&mut all, &mut now, 20, "");
    let one = all.get_mut("n0").expect("a member");
    for n in 0..200_u8 {
        one.hear(now, "n1", &[n; 90]);
        one.hear(now, "nobody", &[n; 9]);
    }
    one.hear(now, "n1", &[0; DATAGRAM_MOST + 1]);
    assert!(one.hears("n1") && one.hears("n2"));
}
