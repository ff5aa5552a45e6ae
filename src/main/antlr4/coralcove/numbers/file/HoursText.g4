/* Grammar of opening hours, for example "mo-fr 09:00-17:30 except holidays; sa 10:00-12:00". docs/numbers.md describes the meaning. */
grammar HoursText;

hours : clause (';' clause)* EOF ;
clause : ALWAYS except? | days times? except? | times except? ;
days : day (',' day)* ;
day : WEEKDAY ('-' WEEKDAY)? | DATE ('..' DATE)? | HOLIDAYS ;
times : time (',' time)* ;
time : CLOCK '-' CLOCK ;
except : EXCEPT days ;

ALWAYS : 'always' ;
EXCEPT : 'except' ;
HOLIDAYS : 'holidays' ;
WEEKDAY : 'mo' | 'tu' | 'we' | 'th' | 'fr' | 'sa' | 'su' ;
DATE : DIGIT DIGIT DIGIT DIGIT '-' DIGIT DIGIT '-' DIGIT DIGIT ;
CLOCK : DIGIT DIGIT ':' DIGIT DIGIT ;
WS : [ \t]+ -> skip ;
OTHER : . ;
fragment DIGIT : [0-9] ;
