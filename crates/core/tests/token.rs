//! Guards against accepting a token that a client has forged or altered.

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::token::Token;
use proptest::prelude::*;

const KEY: &[u8] = b"a key of the token secret";

fn token() -> impl Strategy<Value = Token> {
    ("[a-z0-9-]{1,12}", "[a-z0-9-]{1,12}", any::<(u64, u64)>()).prop_map(
        |(database, organisation, (term, index))| Token {
            database,
            organisation,
            position: LogPosition { term, index },
        },
    )
}

proptest! {
    #[test]
    fn encoded_token_decodes_to_the_original(token in token()) {
        prop_assert_eq!(Token::decode(&token.encode(KEY), KEY), Ok(token));
    }

    #[test]
    fn altered_token_is_rejected(token in token(), at in any::<prop::sample::Index>(), by in 1..64u8) {
        let text = token.encode(KEY);
        let mut bytes = text.clone().into_bytes();
        let at = at.index(bytes.len());
        let alphabet = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        let old = alphabet.iter().position(|b| *b == bytes[at]).unwrap_or(0);
        bytes[at] = alphabet[(old + usize::from(by)) % alphabet.len()];
        let altered = String::from_utf8(bytes).expect("ASCII");
        if altered != text {
            prop_assert!(Token::decode(&altered, KEY).is_err());
        }
    }

    #[test]
    fn other_key_is_rejected(token in token(), key in prop::collection::vec(any::<u8>(), 1..40)) {
        prop_assume!(key != KEY);
        prop_assert!(Token::decode(&token.encode(&key), KEY).is_err());
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,60}") {
        let _ = Token::decode(&text, KEY);
    }
}
