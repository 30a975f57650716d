//! The module stays short enough to read.

#[test]
fn the_module_keeps_its_size_and_width() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines that are not blank");
    let widest = text.lines().map(|l| l.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "a line of {widest} columns");
}
