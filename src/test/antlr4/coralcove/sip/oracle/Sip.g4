// A slow oracle for the fast parser, for tests only: RFC 3261 section 25 as far as its headers are looked at here.
// One token a character class; what a header unknown to this grammar holds is any text.
grammar Sip;

message : startLine header* CRLF body EOF ;
body : (any | CRLF)* ;
startLine : request CRLF | status CRLF ;
request : method SP uri SP version ;
method : token ;
uri : uriChar+ ;
version : sip SLASH digit DOT digit ;
sip : letter letter letter ;
letter : ALPHA | known ;
status : version SP digit digit digit SP reason ;
reason : any* ;

header : (via | from | to | callId | cseq | maxForwards | contentLength | other) CRLF ;
via : VIA hcolon viaParm (lws? COMMA lws? viaParm)* lws? ;
viaParm : token slash token slash token lws sentBy (semi viaParam)* ;
sentBy : host (lws? COLON lws? digit+)? ;
viaParam : token (equal (token | host | quoted))? ;
from : FROM hcolon nameAddr (semi param)* lws? ;
to : TO hcolon nameAddr (semi param)* lws? ;
nameAddr : (display lws?)? LT addrChar+ GT | specChar+ ;
display : quoted | token (lws token)* ;
param : token (equal (token | host | quoted))? ;
callId : CALLID hcolon word (AT word)? lws? ;
cseq : CSEQ hcolon digit+ lws method lws? ;
maxForwards : MAXFORWARDS hcolon digit+ lws? ;
contentLength : CONTENTLENGTH hcolon digit+ lws? ;
other : otherName hcolon (any | lws)* ;
otherName : (ALPHA | DIGIT | DASH | DOT | MARK) token? | known token ;

hcolon : (SP | TAB)* COLON lws? ;
semi : lws? SEMI lws? ;
equal : lws? EQUAL lws? ;
slash : lws? SLASH lws? ;
lws : (SP | TAB)* CRLF (SP | TAB)+ | (SP | TAB)+ ;
host : (ALPHA | known | DIGIT | DASH | DOT)+ | LBRACK (ALPHA | known | DIGIT | COLON | DOT)+ RBRACK ;
token : (ALPHA | known | DIGIT | DASH | DOT | MARK)+ ;
word : (ALPHA | known | DIGIT | DASH | DOT | MARK | LT | GT | COLON | BACKSLASH | QUOTE | SLASH | LBRACK | RBRACK
       | QMARK | BRACE)+ ;
quoted : QUOTE (~(QUOTE | BACKSLASH | CRLF) | BACKSLASH ~CRLF)* QUOTE ;
digit : DIGIT ;
uriChar : ~(SP | TAB | CRLF | CONTROL) ;
addrChar : ~(GT | CRLF) ;
specChar : ~(SEMI | COMMA | QMARK | LT | GT | QUOTE | SP | TAB | CRLF) ;
any : ~CRLF ;
// Names of headers are letters elsewhere.
known : VIA | FROM | TO | CALLID | CSEQ | MAXFORWARDS | CONTENTLENGTH ;

VIA : [Vv][Ii][Aa] | [Vv] ;
FROM : [Ff][Rr][Oo][Mm] | [Ff] ;
TO : [Tt][Oo] | [Tt] ;
CALLID : [Cc][Aa][Ll][Ll] '-' [Ii][Dd] | [Ii] ;
CSEQ : [Cc][Ss][Ee][Qq] ;
MAXFORWARDS : [Mm][Aa][Xx] '-' [Ff][Oo][Rr][Ww][Aa][Rr][Dd][Ss] ;
CONTENTLENGTH : [Cc][Oo][Nn][Tt][Ee][Nn][Tt] '-' [Ll][Ee][Nn][Gg][Tt][Hh] | [Ll] ;
ALPHA : [A-Za-z] ;
DIGIT : [0-9] ;
CRLF : '\r\n' ;
SP : ' ' ;
TAB : '\t' ;
COLON : ':' ;
SEMI : ';' ;
COMMA : ',' ;
EQUAL : '=' ;
SLASH : '/' ;
LT : '<' ;
GT : '>' ;
AT : '@' ;
QUOTE : '"' ;
BACKSLASH : '\\' ;
LBRACK : '[' ;
RBRACK : ']' ;
QMARK : '?' ;
BRACE : [{}] ;
DASH : '-' ;
DOT : '.' ;
MARK : [!%*_+`'~] ;
CONTROL : [\u0000-\u0008\u000B\u000C\u000E-\u001F\u007F] | '\r' | '\n' ;
OTHER : . ;
