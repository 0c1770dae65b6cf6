//! Parts of prompts that crash the endpoints that begin to answer them.

use bluebell_core::quarantine::{PartHash, shared_parts};

fn part(id: u64) -> PartHash {
    PartHash::new(id)
}

/// Guards against blaming the last part of a prompt, which belongs to one request alone.
#[test]
fn the_last_part_is_not_shared() {
    assert_eq!(shared_parts("aa:40,bb:10,cc:60"), [part(0xaa), part(0xbb)]);
    assert_eq!(shared_parts("aa:40, bb:10 ,"), [part(0xaa)]);
    assert_eq!(shared_parts("aa:40"), []);
    assert_eq!(shared_parts(""), []);
}

/// Guards against overlooking a part that stands far behind in a long prompt.
#[test]
fn all_parts_of_a_long_prompt_count() {
    let prefix: Vec<String> = (1..=200).map(|id| format!("{id:x}:1")).collect();
    let parts = shared_parts(&prefix.join(","));
    assert_eq!(parts.len(), 199);
    assert_eq!(parts.last(), Some(&part(199)));
}

/// Guards against telling a part from itself because its id is written in another way.
#[test]
fn an_id_is_the_same_in_all_its_spellings() {
    assert_eq!("00aB".parse::<PartHash>(), "AB".parse());
    let long = "1234567890abcdef1234";
    assert_eq!(long.parse::<PartHash>(), long.to_uppercase().parse());
    assert_ne!(long.parse::<PartHash>(), long[..16].parse());
    assert_eq!(part(0xab).to_string(), "ab");
    assert!("x1".parse::<PartHash>().is_err());
    assert!("".parse::<PartHash>().is_err());
}
