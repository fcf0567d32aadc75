use super::*;
use rstest::rstest;

#[rstest]
#[case::unchanged("n1", |_: &mut Vec<u8>| {}, "")]
#[case::other_sidecar("n2", |_: &mut Vec<u8>| {}, "it is of n1, not of n2")]
#[case::truncated("n1", |bytes: &mut Vec<u8>| bytes.truncate(9), "its checksum is wrong")]
#[case::empty("n1", |bytes: &mut Vec<u8>| bytes.clear(), "truncated")]
#[case::changed("n1", |bytes: &mut Vec<u8>| bytes[7] ^= 1, "its checksum is wrong")]
fn a_file_is_read_whole_or_rejected(
    #[case] name: &str,
    #[case] change: fn(&mut Vec<u8>),
    #[case] error: &str,
) {
    static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("passroad-kept-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("state");
    let mut store = VoteStore::open(&path, "n1").unwrap();
    assert!(!store.found);
    store.store(7, Vote::promised(5, 2)).unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    change(&mut bytes);
    std::fs::write(&path, bytes).unwrap();
    let reopened = VoteStore::open(&path, name);
    std::fs::remove_dir_all(&folder).unwrap();
    match reopened {
        Ok(store) => assert!(error.is_empty() && store.found && store.votes[&7].promised == 5),
        Err(message) => assert!(!error.is_empty() && message.contains(error), "{message}"),
    }
}
