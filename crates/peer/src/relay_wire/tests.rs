use super::*;

/// Guards against a split that loses bytes or exceeds the size limit of a part.
#[test]
fn parts_join_to_the_text_and_are_within_the_limit() {
    heatherknot_test_support::property::check()
        .with_type::<(String, u8)>()
        .for_each(|(text, max)| {
            let max_part = usize::from(*max).max(4);

            let parts = split_text(text, max_part);

            assert_eq!(parts.concat(), *text);
            assert!(
                parts
                    .iter()
                    .all(|part| !part.is_empty() && part.len() <= max_part)
            );
        });
}
